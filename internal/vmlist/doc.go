// Package vmlist polls the list of VMs that the platform serves.
package vmlist
