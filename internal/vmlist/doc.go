// Package vmlist polls the platform's list of VMs.
package vmlist
