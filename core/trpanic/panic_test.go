package trpanic

import (
	"strings"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

// Guards against a panic that passes Do, and against a lost value or stack.
func TestDoReturnsPanicAsError(t *testing.T) {
	assert.NilError(t, Do(func() {}))
	err := Do(func() { panic("injected") })
	assert.Error(t, err, "panic: injected")
	fields := Fields(errors.Wrap(err, "message"))
	assert.Equal(t, fields["error"], "message: panic: injected")
	assert.Assert(t, strings.Contains(fields["Stack"].(string), "TestDoReturnsPanicAsError"))
	var nilMap map[string]int
	assert.ErrorContains(t, Do(func() { nilMap["a"]++ }), "nil map")
}
