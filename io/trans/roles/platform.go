package roles

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"camphorridge/core/state/model"
	"camphorridge/io/proto/conf"
)

// platformTimeout is the timeout of one call to the platform.
const platformTimeout = time.Second

// platform calls the HTTP interface of the platform in an instance's zone.
// addresses holds the interface's host:port by zone.
type platform struct {
	addresses map[model.Zone]string
	client    *http.Client
}

func newPlatform(all []conf.Platform) *platform {
	p := &platform{addresses: map[model.Zone]string{}, client: &http.Client{Timeout: platformTimeout}}
	for _, z := range all {
		p.addresses[z.Zone] = z.Address
	}
	return p
}

// Reboot asks the platform to reboot an instance and doesn't wait for the end of
// the reboot. It returns an error if no platform is configured for the zone or if
// the platform refuses.
func (p *platform) Reboot(ctx context.Context, i model.Instance) error {
	address, ok := p.addresses[i.Zone]
	if !ok {
		return &Error{Op: "reboot", Kind: KindServe, Err: fmt.Errorf("no platform is configured for zone %s", i.Zone)}
	}
	u := url.URL{Scheme: "http", Host: address, Path: "/reboot", RawQuery: url.Values{"instance": {string(i.ID)}}.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, u.String(), http.NoBody)
	if err != nil {
		return &Error{Op: "reboot", Kind: KindServe, Err: err}
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return &Error{Op: "reboot", Kind: KindServe, Err: err}
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusBadRequest {
		reason, _ := io.ReadAll(io.LimitReader(resp.Body, 256))
		return &Error{Op: "reboot", Kind: KindServe, Err: fmt.Errorf("status %d: %s", resp.StatusCode, reason)}
	}
	return nil
}
