package controlclient

import (
	"encoding/json"

	"dahlialock/internal/membership"
)

// Codes of rejections by daemons that reached no controller that can serve requests.
const (
	codeNoPrimary = "no-primary"
	codeNoAnswer  = "no-answer"
)

// codeUnsettled means that it is unknown whether a request had an effect.
const codeUnsettled = "unsettled"

// errorBody is the JSON body of a response that is not a success.
type errorBody struct {
	Code   string `json:"code"`
	Faults any    `json:"faults"`
	Text   string `json:"text"`
}

// ErrorBody encodes the body of a response that is not a success. The code is meant for programs,
// the text for people; faults lists the errors in the request, or is nil.
func ErrorBody(code, text string, faults any) []byte {
	body, err := json.Marshal(errorBody{Code: code, Text: text, Faults: faults})
	if err != nil {
		panic(err)
	}
	return body
}

// reachedNoController reports whether the sender of a rejection reached no controller that can
// serve requests, so that another daemon might.
func reachedNoController(response membership.ControlResponse) bool {
	var body struct {
		Code string `json:"code"`
	}
	if json.Unmarshal(response.Body, &body) != nil {
		return false
	}
	return body.Code == codeNoPrimary || body.Code == codeNoAnswer
}
