package target

import (
	"context"
	"errors"
	"io"
	"net/http"

	"nutmegfield.example/request"
)

func init() {
	Register("service", func(limits Limits) *Client {
		service := &service{limits: limits, transport: newTransport(limits)}
		return &Client{Dispatch: service.dispatch}
	})
}

// service is the client of plain HTTP services.
type service struct {
	limits    Limits
	transport *http.Transport
}

func (service *service) dispatch(ctx context.Context, address string, call *Call) (*Answer, error) {
	response, err := send(ctx, service.transport, address, call)
	if err != nil {
		return nil, err
	}
	return &Answer{
		Status: response.StatusCode,
		Header: response.Header,
		Body:   &wholeBody{body: response.Body, limit: service.limits.Bytes},
		Usage:  func() request.Usage { return request.Usage{} },
	}, nil
}

// wholeBody turns the faults of an answer's end into errors of this package.
type wholeBody struct {
	body  io.ReadCloser
	limit int64
	read  int64
}

// Read ends with io.EOF only after the whole answer.
func (body *wholeBody) Read(into []byte) (int, error) {
	n, err := body.body.Read(into)
	body.read += int64(n)
	if body.read > body.limit {
		return 0, TooMuch.New("more than %d bytes", body.limit)
	}
	if err == nil || errors.Is(err, io.EOF) {
		return n, err
	}
	return n, Broken.Wrap(err, "read answer")
}

// Close cancels what still runs.
func (body *wholeBody) Close() error { return body.body.Close() }
