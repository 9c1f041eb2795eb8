// Package storedforms holds what the tests of recorded forms share. The bytes on the
// wire and on disk, and the texts that operators and callers read, were recorded once
// (from the code of commit 9cc32dd) and lie in testdata folders: here, and beside the
// packages whose types are not exported. A change of names in the code must move none
// of them.
//
// Recordings are read, never renewed: Compare writes a file only if there is none yet
// and the environment asks for it with RECORD_FORMS=1, which is for forms that are new.
package storedforms
