package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// cases are by name; each gives 0 if the rule held, 1 if it was broken and 2 if it couldn't run.
var cases = map[string]func(f *fleet, trouble bool) int{
	"dead":    dead,
	"missing": missing,
	"place":   place,
}

// main runs a case: standin NAME FOLDER, at the root of the repository.
func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		os.Exit(2)
	}
	root, err := os.Getwd()
	broken(err)
	folder, err := filepath.Abs(os.Args[2])
	broken(err)
	os.Exit(run(root, folder))
}

func run(root, folder string) (code int) {
	f := newFleet(root, folder, 7)
	defer func() {
		if problem := recover(); problem != nil {
			f.note("the case couldn't run: %v", problem)
			code = 2
		}
		f.stopAll()
		f.note("exit %d", code)
		_ = f.record.Close()
	}()
	return cases[os.Args[1]](f, os.Getenv("TROUBLE") != "0")
}
