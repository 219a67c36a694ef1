package trserver

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against reporting only the first error of a settings file, or reporting
// errors without their position in the file.
func TestLoadSettingsReportsAllErrors(t *testing.T) {
	file := filepath.Join(t.TempDir(), "s.jsonc")
	assert.NilError(t, os.WriteFile(file, []byte(`// comment
{
	"InstanceID": "a",
	"CallerAddr": "localhost:1", // a name
	"PeerAddr": 7,
	"Surprise": true,
	"Platform": ["http://127.0.0.1:1"],
	"DrainMs": -1,
	"LogLevel": "loud",
}`), 0o600))
	_, diagnostics := LoadSettings(file)
	assert.DeepEqual(t, diagnostics, []string{
		file + ":5:14: PeerAddr: json: cannot unmarshal number into Go value of type string",
		file + `:6:2: field "Surprise" is unknown`,
		file + ":1:1: Zone is missing",
		file + `:4:16: CallerAddr "localhost:1" is not an IP address with a port`,
		file + `:5:14: PeerAddr "" is not an IP address with a port`,
		file + ":8:13: DrainMs must not be negative",
		file + `:9:14: LogLevel: not a valid logrus Level: "loud"`,
	})
}
