// Package intake accepts jobs from callers, cancels them and answers for them, from the owner's memory or from the store.
package intake
