// Package metric defines the Prometheus metrics that the parts of an instance share, and registers further ones.
package metric
