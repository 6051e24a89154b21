package protocol

import (
	"context"
	"net/http"

	"nutmegfield.example/head"
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
	transport *head.Transport
}

func (service *service) dispatch(ctx context.Context, address string, call *Call) (*Answer, error) {
	response, _, err := send(ctx, service.transport, address, call, service.limits.HeaderTimeout)
	if err != nil {
		return nil, err
	}
	if !isDelimited(response) {
		_ = response.Body.Close()
		return nil, Garbled.New("%s: an answer without a length, whose end can't be told", address)
	}
	return &Answer{
		Status: response.StatusCode,
		Header: response.Header,
		Body:   newLimitedBody(response.Body, service.limits),
		Usage:  func() request.Usage { return request.Usage{} },
	}, nil
}

// isDelimited reports whether an answer has a length or is chunked, so that a
// complete answer can be told from one cut off by a broken connection.
func isDelimited(response *http.Response) bool {
	return response.Request != nil && response.Request.Method == http.MethodHead || response.ContentLength >= 0 || len(response.TransferEncoding) > 0
}
