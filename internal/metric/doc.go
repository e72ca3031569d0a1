// Package metric defines the Prometheus metrics that packages of an instance share, and registers further ones.
package metric
