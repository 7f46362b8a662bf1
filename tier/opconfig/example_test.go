package opconfig_test

import (
	"fmt"

	"otterseam/tier/opconfig"
)

func ExampleParse() {
	_, err := opconfig.Parse([]byte(`{"version":3,"routes":[{"name":"chat","host":"a.example","path_prefix":"/","timeout_ms":5000,"service":"engine"}]}`))
	fmt.Println(err)
	// Output: route chat: service engine is unknown: code 201 config-invalid
}

func ExampleTable_Route() {
	config, err := opconfig.Parse([]byte(`{"version":3,"services":[{"name":"engine"}],"routes":[
		{"name":"all","host":"a.example","path_prefix":"/","timeout_ms":5000,"service":"engine"},
		{"name":"chat","host":"a.example","path_prefix":"/chat/","timeout_ms":5000,"service":"engine"}]}`))
	if err != nil {
		fmt.Println(err)
		return
	}
	table := opconfig.NewTable(config)
	fmt.Println(table.Route("a.example", "/chat/7").Name, table.Route("a.example", "/else").Name, table.Route("b.example", "/") == nil)
	// Output: chat all true
}
