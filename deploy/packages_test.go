// Package deploy contains the files that the platform reads to build and start dahlialock.
// Its tests compare the deploy file with the packages that the build uses.
package deploy

import (
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// compilerParts lists the programs that gcc starts, compilerFiles the files that it passes to the linker.
var (
	compilerParts = []string{"cc1", "collect2", "as", "ld"}
	compilerFiles = []string{
		"Scrt1.o", "crti.o", "crtn.o", "crtbeginS.o", "crtendS.o",
		"libc.so", "libgcc.a", "libpthread.a",
	}
)

// certificateWriter writes the file of root certificates that Go reads; the file itself
// belongs to no package.
const certificateWriter = "/usr/sbin/update-ca-certificates"

// TestPackagesAreWhatTheBuildUses finds the programs, headers and libraries that the build
// line uses in addition to the Go toolchain: each must belong to a listed package or to one that a
// listed package depends on, and each listed package must own one of them.
func TestPackagesAreWhatTheBuildUses(t *testing.T) {
	requireDebian(t)
	listed, build := readDeployFile(t)
	reached := withDependencies(t, listed)
	used := map[string]bool{}
	for file, owner := range ownersOf(t, usedFiles(t, build)) {
		assert.Assert(t, reached[owner], "%s belongs to %s, which no package of system.toml installs", file, owner)
		used[owner] = true
	}
	for _, name := range listed {
		assert.Assert(t, used[name], "the build uses no file of %s", name)
	}
}

// requireDebian skips the test on other systems, whose packages have other names. It never skips on Debian.
func requireDebian(t *testing.T) {
	t.Helper()
	release, err := os.ReadFile("/etc/os-release")
	if err != nil || !slices.Contains(strings.Split(string(release), "\n"), "ID=debian") {
		t.Skip("the deploy file lists Debian packages, and this system is not Debian")
	}
}

// readDeployFile returns the packages and the build line.
func readDeployFile(t *testing.T) ([]string, string) {
	t.Helper()
	content, err := os.ReadFile("system.toml")
	assert.NilError(t, err)
	top, _, _ := strings.Cut(string(content), "\n[")
	list := regexp.MustCompile(`(?m)^packages = \[("[^\n]+")\]$`).FindStringSubmatch(top)
	assert.Equal(t, len(list), 2, "packages is a list on one line above the roles")
	build := regexp.MustCompile(`(?m)^build = "([^"\n]+)"$`).FindStringSubmatch(top)
	assert.Equal(t, len(build), 2, "build is one line above the roles")
	var names []string
	for _, name := range strings.Split(list[1], ", ") {
		names = append(names, strings.Trim(name, `"`))
	}
	return names, build[1]
}

// usedFiles lists the files of the system that the build line uses.
func usedFiles(t *testing.T, build string) []string {
	t.Helper()
	assert.Assert(t, !strings.ContainsAny(build, "|&;<>()$`"), "the build line is one command: %s", build)
	words := strings.Fields(build)
	assert.DeepEqual(t, words[:3], []string{"CGO_ENABLED=1", "go", "build"})
	compiler := strings.Fields(output(t, "go", "env", "CC"))[0]
	files := []string{absolute(t, compiler), certificateWriter}
	for _, part := range compilerParts {
		files = append(files, absolute(t, output(t, compiler, "-print-prog-name="+part)))
	}
	for _, name := range compilerFiles {
		files = append(files, absolute(t, output(t, compiler, "-print-file-name="+name)))
	}
	return append(files, usedHeaders(t, compiler, words[len(words)-1])...)
}

// usedHeaders lists the system headers that the C files of the programs include.
func usedHeaders(t *testing.T, compiler, programs string) []string {
	t.Helper()
	const sources = `{{if .CgoFiles}}{{$d := .Dir}}{{range .CFiles}}{{$d}}/{{.}}{{"\n"}}{{end}}{{end}}`
	command := exec.Command("go", "list", "-deps", "-f", sources, programs)
	command.Dir = ".."
	command.Env = append(os.Environ(), "CGO_ENABLED=1")
	listed, err := command.Output()
	assert.NilError(t, err)
	files := strings.Fields(string(listed))
	assert.Assert(t, len(files) > 0, "no C file is built, not even of runtime/cgo")
	headers := map[string]bool{}
	for _, file := range files {
		// -MG accepts missing headers, because cgo generates one only during the build.
		for _, word := range strings.Fields(output(t, compiler, "-M", "-MG", file)) {
			if strings.HasPrefix(word, "/usr/include/") || strings.HasPrefix(word, "/usr/lib/") {
				headers[word] = true
			}
		}
	}
	assert.Assert(t, len(headers) > 0, "no header of the system is read")
	var found []string
	for header := range headers {
		found = append(found, header)
	}
	slices.Sort(found)
	return found
}

// absolute returns the path of a program; it looks up a name and only cleans an absolute path.
func absolute(t *testing.T, name string) string {
	t.Helper()
	if filepath.IsAbs(name) {
		return filepath.Clean(name)
	}
	found, err := exec.LookPath(name)
	assert.NilError(t, err)
	return found
}

// ownersOf returns the package that owns each file.
func ownersOf(t *testing.T, files []string) map[string]string {
	t.Helper()
	var paths []string
	for _, file := range files {
		paths = append(paths, pathsOf(file)...)
	}
	// dpkg-query fails if no package owns one of the paths, but still prints the owners of the others.
	found, _ := exec.Command("dpkg-query", append([]string{"-S"}, paths...)...).Output()
	packages := map[string]string{}
	for _, line := range strings.Split(string(found), "\n") {
		if owner, path, fits := strings.Cut(line, ": "); fits {
			packages[path], _, _ = strings.Cut(owner, ":")
		}
	}
	owners := map[string]string{}
	for _, file := range files {
		known := slices.IndexFunc(pathsOf(file), func(path string) bool { return packages[path] != "" })
		assert.Assert(t, known >= 0, "%s belongs to no package", file)
		owners[file] = packages[pathsOf(file)[known]]
	}
	return owners
}

// pathsOf lists the paths under which the package database may list a file: its own path,
// the target if it is a symbolic link, and both without /usr, for systems where /lib is a link
// to /usr/lib.
func pathsOf(file string) []string {
	paths := []string{file, strings.TrimPrefix(file, "/usr")}
	if target, err := filepath.EvalSymlinks(file); err == nil && target != file {
		paths = append(paths, target, strings.TrimPrefix(target, "/usr"))
	}
	return paths
}

// withDependencies returns the listed packages and all installed packages that they depend
// on, directly or not, but none that they only recommend.
func withDependencies(t *testing.T, listed []string) map[string]bool {
	t.Helper()
	reached := map[string]bool{}
	pending := slices.Clone(listed)
	for len(pending) > 0 {
		name := pending[0]
		pending = pending[1:]
		if reached[name] {
			continue
		}
		fields, err := exec.Command("dpkg-query", "-W", "-f", "${Depends},${Pre-Depends}\n", name).Output()
		if err != nil {
			assert.Assert(t, !slices.Contains(listed, name), "%s is not installed", name)
			// The name is an alternative that isn't installed, or a virtual package.
			continue
		}
		reached[name] = true
		pending = append(pending, dependencies(string(fields))...)
	}
	return reached
}

// dependencies returns the package names in a field such as "libc6 (>= 2.36), debconf | debconf-2.0".
func dependencies(fields string) []string {
	var names []string
	for _, alternative := range strings.FieldsFunc(fields, func(r rune) bool { return strings.ContainsRune(",|\n", r) }) {
		words := strings.Fields(alternative)
		if len(words) > 0 {
			name, _, _ := strings.Cut(words[0], ":")
			names = append(names, name)
		}
	}
	return names
}

// output runs a program and returns its standard output without surrounding white space.
func output(t *testing.T, name string, arguments ...string) string {
	t.Helper()
	written, err := exec.Command(name, arguments...).Output()
	assert.NilError(t, err, "%s %s", name, strings.Join(arguments, " "))
	return strings.TrimSpace(string(written))
}
