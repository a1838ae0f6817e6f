package admin

import (
	"context"
	"fmt"
	"io"
	"net/http"

	"camphorridge/core/state/model"
	"camphorridge/io/proto/report"
)

const (
	// maxPageBytes bounds the bytes of one response to Fetch.
	maxPageBytes = 64 << 20
	// maxPages bounds the requests of one Fetch, so that it ends even when a
	// process records faster than it answers.
	maxPages = 128
)

// FetchEvents returns the events of the process whose admin endpoint has the given
// address, from those after the sequence number since.
func FetchEvents(ctx context.Context, c *http.Client, address string, since uint64) ([]model.Event, error) {
	var all []model.Event
	for range maxPages {
		page, err := fetchPage(ctx, c, address, since)
		if err != nil {
			return nil, &Error{Op: "fetch events", Kind: KindFetch, Err: fmt.Errorf("%s: %w", address, err)}
		}
		all = append(all, page...)
		if len(page) < PageSize {
			break
		}
		since = page[len(page)-1].Seq
	}
	return all, nil
}

func fetchPage(ctx context.Context, c *http.Client, address string, since uint64) ([]model.Event, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s/events?since=%d", address, since), nil)
	if err != nil {
		return nil, err
	}
	resp, err := c.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxPageBytes+1))
	switch {
	case err != nil:
		return nil, err
	case resp.StatusCode != http.StatusOK:
		return nil, fmt.Errorf("status %d", resp.StatusCode)
	case len(data) > maxPageBytes:
		return nil, fmt.Errorf("response of more than %d bytes", maxPageBytes)
	}
	return report.EventsFromJSON(data)
}
