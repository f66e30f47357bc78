package node

import "net/http"

// records serves the operators' record API.
func (e *Entry) records() (http.Handler, error) { return nil, nil }
