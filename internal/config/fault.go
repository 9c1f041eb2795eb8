package config

// FaultCode is the kind of a Fault.
type FaultCode string

// Codes of faults, as they are returned to operators and their programs.
const (
	FaultMalformed       FaultCode = "malformed"
	FaultTooLarge        FaultCode = "too-large"
	FaultWrongType       FaultCode = "wrong-type"
	FaultUnknownKey      FaultCode = "unknown-key"
	FaultDuplicateKey    FaultCode = "duplicate-key"
	FaultMissing         FaultCode = "missing"
	FaultOutOfRange      FaultCode = "out-of-range"
	FaultBadName         FaultCode = "bad-name"
	FaultDuplicateName   FaultCode = "duplicate-name"
	FaultDanglingName    FaultCode = "dangling-name"
	FaultBadPrefix       FaultCode = "bad-prefix"
	FaultDuplicatePrefix FaultCode = "duplicate-prefix"
	FaultBadAddress      FaultCode = "bad-address"
	// FaultConflict is a value that conflicts with another value of the document.
	FaultConflict FaultCode = "clash"
)

// Fault is one error in a document.
type Fault struct {
	// Path leads to the value from the document's root, as in "$.spaces[0].name".
	Path string    `json:"path"`
	Code FaultCode `json:"code"`
	Text string    `json:"text"`
}

// String returns the path and the text.
func (f Fault) String() string { return f.Path + ": " + f.Text }
