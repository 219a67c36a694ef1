package trupstream

import (
	"bufio"
	"io"
	"net/http"

	"github.com/pkg/errors"
)

// Package http accepts any status of three characters that is a number from 0, any version,
// and bytes after a reply that has no body. An upstream in trouble sends such replies, which
// say nothing about the request.

// statusLineForm is the form of the beginning of a valid status line: 9 stands for a digit.
const statusLineForm = "HTTP/1.9 999 "

// checkStatusLine returns an error if the bytes that come next do not begin a status line of
// HTTP/1.0 or 1.1 with a status of 100 to 599. It waits for no more bytes than it takes to
// tell, and consumes none.
func checkStatusLine(r *bufio.Reader) error {
	for n := 0; n < len(statusLineForm); {
		_, err := r.Peek(n + 1)
		if err == io.EOF {
			return io.ErrUnexpectedEOF
		}
		if err != nil {
			return err
		}
		n = min(r.Buffered(), len(statusLineForm))
		head, err := r.Peek(n)
		if err != nil {
			return err
		}
		if !beginsStatusLine(head) {
			return errors.Errorf("invalid status line %q", head)
		}
	}
	return nil
}

// beginsStatusLine reports whether head, of at most len(statusLineForm) bytes, may begin a
// valid status line.
func beginsStatusLine(head []byte) bool {
	for i, c := range head {
		valid := c == statusLineForm[i]
		switch i {
		case 7: // minor version
			valid = c == '0' || c == '1'
		case 9: // class of the status
			valid = c >= '1' && c <= '5'
		case 10, 11:
			valid = c >= '0' && c <= '9'
		case 12: // the reason may be missing
			valid = c == ' ' || c == '\r' || c == '\n'
		}
		if !valid {
			return false
		}
	}
	return true
}

// bodiless reports whether a reply with the status has no body.
func bodiless(status int) bool {
	return status == http.StatusNoContent || status == http.StatusNotModified
}

// checkReply returns an error for a reply that switches the protocol, which was not asked for,
// and for one that announces a body although its status allows none. The length that a 304
// states is that of the reply to an unconditional request.
func checkReply(resp *http.Response) error {
	length := resp.Header.Get("Content-Length")
	switch {
	case resp.StatusCode == http.StatusSwitchingProtocols:
		return errors.New("reply switches protocols")
	case bodiless(resp.StatusCode) && len(resp.TransferEncoding) > 0, resp.StatusCode == http.StatusNoContent && length != "" && length != "0":
		return errors.Errorf("reply with status %d announces a body", resp.StatusCode)
	}
	return nil
}
