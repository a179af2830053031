package truncate

import "strconv"

// InvalidStatusLines returns status lines that begin no valid answer, though net/http reads
// them.
func InvalidStatusLines() []string {
	return []string{
		"HTTP/1.1 000 None", "HTTP/1.1 -00 None", "HTTP/1.1 001 One", "HTTP/1.1 099 None", "HTTP/1.1 +20 None",
		"HTTP/1.1 600 Odd", "HTTP/1.1 999 Odd",
		"HTTP/0.9 200 OK", "HTTP/1.2 200 OK", "HTTP/2.0 200 OK", "HTTP/3.0 200 OK", "HTTP/9.9 200 OK",
	}
}

// MalformedStatusLines returns status lines that net/http does not read.
func MalformedStatusLines() []string {
	return []string{"HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 2x0 OK", "HTTP/1.1 -20 OK", "HTTP/1.1", "HTTP/11 200 OK", "ICY 200 OK", "200 OK", "http/1.1 200 OK"}
}

// Sized returns a whole answer with a length. The header lines end with CRLF.
func Sized(statusLine, header, body string) string {
	return statusLine + "\r\n" + header + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}
