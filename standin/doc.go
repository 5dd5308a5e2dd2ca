// Package standin holds small stand-ins for what surrounds the system, for
// tests and trials: the platform, and the other neighbours of its processes.
//
// Start with NewPlatform.
package standin
