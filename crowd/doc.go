// Package crowd tests that clients which send bodies without their end neither end an instance nor keep it from serving others. The
// instances are processes of peridotd on loopback, with the limits of a small VM.
package crowd
