package params_test

import (
	"errors"
	"fmt"

	"peridotgw.example/peridotgw/internal/params"
)

// All problems of a file are reported at once, each with line, column and field.
func ExampleParse() {
	_, err := params.Parse("entry-1.jsonc", []byte(`{
	"instance": "Entry 1",
	"data-centre": "library",
	"listen": {"callers": "127.0.0.1:0", "operators": "127.0.0.1:0", "peers": "127.0.0.1:0", "metrics": "127.0.0.1:0"},
	"store": {"url": "http://127.0.0.1:7901", "timeout": 2},
	"vm-list": {"url": "http://127.0.0.1:7902"},
	"operators": [{"name": "example", "token": "short"}],
}`))
	var problems *params.Error
	if errors.As(err, &problems) {
		for _, problem := range problems.Problems {
			fmt.Println(problem.Line, problem.Column, problem.Field)
		}
	}
	// Output:
	// 2 14 instance
	// 5 55 store.timeout
	// 7 45 operators[0].token
}
