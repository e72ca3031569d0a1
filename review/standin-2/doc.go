// Command standin-2 runs the cases of the second review. Each case starts instances of peridotd as processes on loopback, with stand-ins
// of the platform's store, of minions and of clients that follow the users' pages, and checks one rule from what these see.
//
// It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case couldn't run.
package main
