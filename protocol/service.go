package protocol

import (
	"context"
	"net/http"

	"nutmegfield.example/request"
)

func init() {
	Register("service", func(limits Limits) *Client {
		return newService(limits, limits.Dial)
	})
}

func newService(limits Limits, dial dialFunc) *Client {
	service := &service{limits: limits, transport: newTransport(dial)}
	return &Client{Dispatch: service.dispatch}
}

// service is the client of plain HTTP services.
type service struct {
	limits    Limits
	transport *http.Transport
}

func (service *service) dispatch(ctx context.Context, address string, call *Call) (*Answer, error) {
	response, err := send(ctx, service.transport, address, call, service.limits.Wait)
	if err != nil {
		return nil, err
	}
	if !bounded(response) {
		_ = response.Body.Close()
		return nil, Garbled.New("%s: an answer without a length, whose end can't be told", address)
	}
	return &Answer{
		Status: response.StatusCode,
		Header: response.Header,
		Body:   newWholeBody(response.Body, service.limits),
		Usage:  func() request.Usage { return request.Usage{} },
	}, nil
}

// bounded reports whether the end of an answer can be told from a broken
// connection: by its length or its chunks.
func bounded(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0
}
