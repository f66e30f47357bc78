// Package pages holds tests only. They compare the pages under docs/ and the
// README with the code: error kinds, figures, retry reasons, HTTP statuses and
// endpoints, messages, settings and commands must stand in both or in neither.
//
// Tables that follow from the code alone are written by
//
//	go test ./internal/pages -update
package pages
