package trvars_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"tanagerrock/core/trmetric"
	"tanagerrock/io/trvars"
)

// TestHandlerServesJSON guards against metrics that a scraper cannot read.
func TestHandlerServesJSON(t *testing.T) {
	var metrics trmetric.Registry
	metrics.Add("Queries", "", 3)
	w := httptest.NewRecorder()
	trvars.Handler(&metrics).ServeHTTP(w, httptest.NewRequest("GET", "/debug/vars", nil))
	assert.Equal(t, w.Code, http.StatusOK)
	assert.Equal(t, w.Header().Get("Content-Type"), "application/json; charset=utf-8")
	var got trmetric.Snapshot
	assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &got))
	assert.Equal(t, got.Counters["Queries"][""], int64(3))
}
