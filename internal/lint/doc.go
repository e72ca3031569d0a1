// Package lint checks a configuration before it is sent: what would be refused, entries that can never match, limits that contradict each
// other, and what differs from the version in force. It covers the project's own objects and the operators' configuration of the users'
// platform, and reads nothing but what it is given.
package lint
