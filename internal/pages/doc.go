// Package pages contains only tests, which compare the pages under docs/ and the
// README with the code: error kinds, metrics, retry reasons, HTTP statuses and
// endpoints, messages, settings and commands must be present in both or in neither.
//
// Tables that can be generated from the code are updated by
//
//	go test ./internal/pages -update
package pages
