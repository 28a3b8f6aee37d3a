package daisyops

import (
	"errors"
	"net/http"

	"github.com/daisyglade/daisyglade/internal/domain/daisyroute"
)

// RoutePath is the path of RouteHandler.
const RoutePath = "/v1/route"

// RouteHandler returns a handler that explains where a statement would go. The query is
// the body of the request, since it may hold a key, and paths are logged.
func RouteHandler(explain func(daisyroute.Query) (daisyroute.Route, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		var q daisyroute.Query
		if !readJSON(w, r, &q) {
			return
		}
		kind, err := daisyroute.ParseKind(string(q.Kind))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		q.Kind = kind
		route, err := explain(q)
		var unknown *daisyroute.UnknownError
		switch {
		case errors.As(err, &unknown):
			http.Error(w, err.Error(), http.StatusNotFound)
		case err != nil:
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
		default:
			writeJSON(w, route)
		}
	}
}
