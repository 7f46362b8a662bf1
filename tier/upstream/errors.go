package upstream

import "errors"

var (
	// ErrNotSent indicates that no byte of the request has left this process.
	ErrNotSent = errors.New("request was not sent")
	// ErrUnexpectedResponse indicates that the received data is not the response to the request.
	ErrUnexpectedResponse = errors.New("received data is not the response to this request")
	// ErrDuplicateRequestID indicates that the connection has already carried a request with the same ID. The request was not sent.
	ErrDuplicateRequestID = errors.New("the connection has already carried a request with this ID")
	// ErrHeadTooLong indicates that the head of a response exceeds maxHeadBytes.
	ErrHeadTooLong = errors.New("the head of the response is too long")
)
