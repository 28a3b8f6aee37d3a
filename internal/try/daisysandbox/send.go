package daisysandbox

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
)

// maxResponseBytes limits how much of a response body is read.
const maxResponseBytes = 1 << 20

// send sends a request with a JSON body and returns the body of the response. It returns
// an error for any status but 200 and 409, the status of a refused change.
func send(ctx context.Context, c *http.Client, method, url, token string, body []byte) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+token)
	response, err := c.Do(request)
	if err != nil {
		return nil, err
	}
	text, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	_ = response.Body.Close()
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK && response.StatusCode != http.StatusConflict {
		return nil, fmt.Errorf("%s: %s", response.Status, strings.TrimSpace(string(text)))
	}
	return text, nil
}
