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
	// maxPageBytes is the maximum size of one response that FetchEvents accepts.
	maxPageBytes = 64 << 20
	// maxPages is the maximum number of requests that FetchEvents makes, so that it
	// ends even if the process records events faster than it sends them.
	maxPages = 128
)

// FetchEvents fetches from the admin endpoint at address, a host:port, the events with
// a sequence number above since, oldest first. It returns at most maxPages*PageSize
// events. Its errors are of KindFetch.
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

// fetchPage returns at most PageSize events with a sequence number above since.
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
		return nil, fmt.Errorf("the response has more than %d bytes", maxPageBytes)
	}
	return report.EventsFromJSON(data)
}
