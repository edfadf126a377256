package standin

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/endpoint"
)

const (
	// Bytes without end are sent in pieces, with a pause between two.
	endlessPiece = 16 << 10
	endlessPause = 10 * time.Millisecond
	// endlessHead and endlessBody are where they may be in an answer.
	endlessHead = "head"
	endlessBody = "body"
)

// writeEndless writes an answer without end until the connection is closed.
func writeEndless(w http.ResponseWriter, r *http.Request, where string) {
	if where == endlessBody {
		control := http.NewResponseController(w)
		piece := bytes.Repeat([]byte("x"), endlessPiece)
		for pause(r, endlessPause) {
			if _, err := w.Write(piece); err != nil {
				return
			}
			_ = control.Flush()
		}
		return
	}
	head := w.Header()
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+endpoint.HeaderAttempt+": "+head.Get(endpoint.HeaderAttempt)+"\r\n")
	line := append(append([]byte("X-Filler: "), bytes.Repeat([]byte("x"), 1<<10)...), '\r', '\n')
	for err == nil {
		time.Sleep(endlessPause)
		_, err = conn.Write(bytes.Repeat(line, endlessPiece/len(line)))
	}
}
