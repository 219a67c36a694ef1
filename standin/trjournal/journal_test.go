package trjournal

import (
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a full journal that returns events out of order or does not count
// the dropped ones.
func TestFullJournalKeepsTheNewestInOrder(t *testing.T) {
	j := New[int](3)
	for i := range 5 {
		j.Append(i)
	}
	assert.DeepEqual(t, j.Events(), []int{2, 3, 4})
	assert.Equal(t, j.Dropped(), uint64(2))
	w := httptest.NewRecorder()
	j.ServeHTTP(w, nil)
	assert.Equal(t, w.Body.String(), "2\n3\n4\n")
	assert.Equal(t, w.Header().Get(HeaderDropped), "2")
}
