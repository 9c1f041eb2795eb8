// Package storedforms has the helpers for tests that compare encoded forms with recorded
// ones. The bytes on the wire and on disk, and the responses that operators and clients
// read, were recorded once (from the code of commit 9cc32dd). The recordings are in the
// testdata directories of this package and of the packages whose types are not exported.
// Renaming identifiers in the code must not change any of these forms.
//
// Recordings are read and never regenerated: Compare writes a file only if it does not
// exist yet and the environment has RECORD_FORMS=1, which is meant for new forms.
package storedforms
