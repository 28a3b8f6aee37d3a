package daisysandbox

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
)

// answerBytes bounds the body of an answer that is read.
const answerBytes = 1 << 20

// send sends a request with a JSON body and returns the body of the answer, or
// an error unless it is answered with 200, or with 409 as refused changes are.
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
	text, err := io.ReadAll(io.LimitReader(response.Body, answerBytes))
	_ = response.Body.Close()
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK && response.StatusCode != http.StatusConflict {
		return nil, fmt.Errorf("%s: %s", response.Status, strings.TrimSpace(string(text)))
	}
	return text, nil
}
