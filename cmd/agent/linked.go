// Some platforms reach into a program through the system's C library, so that
// it must be linked against that library. Whether Go does so by itself hangs
// on which packages of the standard library happen to use cgo; the import here
// makes it certain wherever cgo is on, and does nothing where it is off.
package main

import "C"
