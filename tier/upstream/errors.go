package upstream

import "errors"

var (
	// ErrNotSent says that no byte of the request has left this process.
	ErrNotSent = errors.New("request was not sent")
	// ErrUnexpectedResponse says that what came is not the response to the request.
	ErrUnexpectedResponse = errors.New("what came is not the response to this request")
	// ErrDuplicateRequestID says that the connection has carried a request with the same id; the request was not sent.
	ErrDuplicateRequestID = errors.New("the connection has carried a request with this id")
	// errHeadTooLong says that the head of a response passed maxHeadBytes.
	errHeadTooLong = errors.New("the head of the response is too long")
)
