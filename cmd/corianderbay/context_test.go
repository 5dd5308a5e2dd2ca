package main

import "context"

// testContext returns the context of steps that a script runs to their end.
func testContext() context.Context {
	return context.Background()
}
