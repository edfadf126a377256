package caller

import (
	"net/http"
	"strconv"

	"bulrushhinge.example/bulrushhinge/internal/dispatch"
	"bulrushhinge.example/bulrushhinge/internal/endpoint"
	"bulrushhinge.example/bulrushhinge/pkg/manifest"
)

// maxAnswerBytes is the size of the largest plain answer.
const maxAnswerBytes = 8 << 20

func (h *Handler) plain(w http.ResponseWriter, r *http.Request) {
	v, a, p := h.admit(r)
	if p != nil {
		p.write(w)
		return
	}
	service, ok := v.Manifest.Service(r.PathValue("service"))
	if !ok || service.Kind != manifest.KindPlain {
		(&problem{status: http.StatusNotFound, kind: "unknown_service", text: "no such plain service", ran: RanNot}).write(w)
		return
	}
	data, p := h.body(w, r)
	if p != nil {
		p.write(w)
		return
	}
	req, p := h.common(r, v, a)
	if p != nil {
		p.write(w)
		return
	}
	req.Service = service.Name
	req.Once = req.Once || service.Once
	req.Chat = strconv.FormatUint(req.ID, 16)
	req.Output = 1
	call := endpoint.Call{
		Method: r.Method, Path: r.URL.RequestURI(), Type: r.Header.Get("Content-Type"), Body: data,
		Priority: req.Priority, Deadline: req.Deadline, Once: req.Once,
	}
	h.run(w, r, work{view: v, account: a, request: req, call: call, answer: func(w http.ResponseWriter, run *dispatch.Run) error {
		w.Header().Set(HeaderRequest, strconv.FormatUint(req.ID, 16))
		return copyAnswer(w, run)
	}})
}

// copyAnswer passes an answer on once it came whole.
func copyAnswer(w http.ResponseWriter, run *dispatch.Run) error {
	data, err := run.Answer.ReadAll(maxAnswerBytes)
	if err != nil {
		return err
	}
	w.Header().Set("Content-Type", run.Answer.Header.Get("Content-Type"))
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(run.Answer.Status)
	_, err = w.Write(data)
	return err
}
