// Package configservice is a read-only client of the configuration service, the
// platform, that operators publish to. The platform holds named values of up to
// 1 MiB each and the list of instances. A watch is a long poll and counts as one
// call.
//
// Start with Client.Read, Client.Watch and Client.WatchInstances. Publication
// describes how a bundle that exceeds one value is split over several.
package configservice
