// Package configservice reads the configuration service that operators publish to:
// named values of up to a megabyte and the list of instances. Nothing is ever
// written there. A watch is a long poll and counts as one call.
//
// Start with Client.Read, Client.Watch and Client.WatchInstances. Publication
// says how a bundle that is larger than one value is laid over several.
package configservice
