// Some platforms intercept calls to the system's C library, so the program must be
// linked against it. Go links it only if a package in use, such as some of the standard
// library, uses cgo. This import forces the linking wherever cgo is enabled; where cgo
// is disabled, this file is not built.
package main

import "C"
