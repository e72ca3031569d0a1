package client_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"time"

	"peridotgw.example/peridotgw/client"
	"peridotgw.example/peridotgw/reply"
)

// A caller decides by the outcome whether to repeat, and always repeats with the same id.
func ExampleCaller_Do() {
	instance := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		refusal := reply.Refused(reply.ReasonQueueFull, "customer-1 has 100 requests of class check in the queue")
		if err := refusal.Write(w); err != nil {
			fmt.Println(err)
		}
	}))
	defer instance.Close()

	caller, closeIdle := client.NewCaller([]string{instance.URL}, "customer-1")
	defer closeIdle()
	_, err := caller.Do(context.Background(), client.Request{Class: "check", ID: "check-000123", Timeout: 2 * time.Second})

	var replied *reply.Error
	if errors.As(err, &replied) {
		fmt.Println(replied.Outcome, replied.Reason)
	}
	// Output: refused queue-full
}
