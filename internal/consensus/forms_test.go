package consensus

import (
	"reflect"
	"testing"

	"dahlialock/internal/storedforms"
)

func storedForms() []storedforms.Form {
	return []storedforms.Form{
		{Name: "entry", Type: reflect.TypeFor[diskEntry]()},
		{Name: "snapshot", Type: reflect.TypeFor[diskSnapshot]()},
	}
}

func TestStoredFormsKeepTheirBytes(t *testing.T) {
	storedforms.CheckBytes(t, "forms.txt", storedForms())
}

func TestStoredFormsKeepTheirLayout(t *testing.T) {
	storedforms.CheckLayout(t, "forms-layout.txt", storedForms())
}

func TestStoredFormsHaveExplicitKeys(t *testing.T) { storedforms.CheckKeys(t, storedForms()) }
