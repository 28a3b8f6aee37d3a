package daisytrial

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
)

// post sends a JSON body and returns an error unless it is answered with 200.
func post(ctx context.Context, c *http.Client, url, token string, body []byte) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+token)
	response, err := c.Do(request)
	if err != nil {
		return err
	}
	text, err := io.ReadAll(io.LimitReader(response.Body, 4096))
	_ = response.Body.Close()
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", response.Status, strings.TrimSpace(string(text)))
	}
	return nil
}
