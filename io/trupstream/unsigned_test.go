package trupstream_test

import (
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"tanagerrock/core/trgateway"
)

// TestUnsignedReplyIsNoAnswer guards against a well-formed reply that is not the upstream's own,
// such as the page of a proxy, and that counts as the answer to a request.
func TestUnsignedReplyIsNoAnswer(t *testing.T) {
	for _, tc := range []struct {
		name, status, fields, body string
		want                       trgateway.OutcomeKind
	}{
		{"page", "200 OK", "Content-Type: text/html\r\n", "<html></html>", trgateway.OutcomeUnknown},
		{"another service", "200 OK", "Content-Type: application/json\r\n", "{}", trgateway.OutcomeUnknown},
		{"empty signature", "200 OK", "Signed:\r\n", "body", trgateway.OutcomeUnknown},
		{"no content", "204 No Content", "", "", trgateway.OutcomeUnknown},
		{"created", "201 Created", "", "", trgateway.OutcomeUnknown},
		{"redirect", "302 Found", "Location: /login\r\n", "", trgateway.OutcomeUnknown},
		{"login", "401 Unauthorized", "WWW-Authenticate: Basic\r\n", "log in", trgateway.OutcomeUnknown},
		{"not found", "404 Not Found", "", "no such page", trgateway.OutcomeUnknown},
		{"signed", "404 Not Found", "Signed: sig\r\n", "no such record", trgateway.Answered},
		{"failure", "500 Internal Server Error", "", "failed", trgateway.Answered},
		{"refusal", "503 Busy", "Unrun: 1\r\n", "", trgateway.NotRun},
		{"bad request", "400 Bad Request", "Unrun: 1\r\n", "", trgateway.NotRun},
		{"misdirected", "421 No", "", "", trgateway.NotRun},
	} {
		for _, reused := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/reused=%v", tc.name, reused), func(t *testing.T) {
				u := newUpstream(t, func(r *http.Request, _ int64) (string, connAction) {
					id := r.Header.Get("Id")
					if id == "before" || id == "after" {
						return reply(id, "x"), keepOpen
					}
					return fmt.Sprintf("HTTP/1.1 %s\r\nId: %s\r\n%sContent-Length: %d\r\n\r\n%s", tc.status, id, tc.fields, len(tc.body), tc.body), keepOpen
				})
				c := newClient()
				defer c.Close()
				if reused {
					assert.Equal(t, send(c, u, "before").Kind, trgateway.Answered)
				}
				out := send(c, u, "r")
				assert.Equal(t, out.Kind, tc.want, "%v", out.Err)
				assert.Equal(t, out.Reply != nil, tc.want == trgateway.Answered)
				assert.Equal(t, send(c, u, "after").Kind, trgateway.Answered)
				if tc.want == trgateway.OutcomeUnknown {
					assert.Equal(t, u.conns.Load(), int64(2), "the connection was used again")
				}
			})
		}
	}
}
