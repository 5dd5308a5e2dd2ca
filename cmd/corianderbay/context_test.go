package main

import "context"

// testContext returns the context of script steps that are never cancelled.
func testContext() context.Context {
	return context.Background()
}
