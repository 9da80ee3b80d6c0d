// Package usage counts what was used, and writes it as CSV or Parquet.
package usage

// Row is the usage of one service by one origin in one minute, at one router,
// by how the replies ended. Its tags are the schema of both formats.
type Row struct {
	Minute       string `json:"minute" parquet:"minute"`
	Router       string `json:"courier" parquet:"courier,dict"`
	Service      string `json:"service" parquet:"service,dict"`
	Client       string `json:"origin" parquet:"origin,dict"`
	Final        string `json:"final" parquet:"final,dict"`
	Requests     int64  `json:"inquiries" parquet:"inquiries"`
	PromptTokens int64  `json:"prompt_tokens" parquet:"prompt_tokens"`
	Chunks       int64  `json:"pieces" parquet:"pieces"`
}
