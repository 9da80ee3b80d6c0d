package codec

import (
	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/features"
)

// format is one key of a record's features map, with the flag that allows it;
// the first format of a record needs none.
type format struct {
	flag  features.Flag
	key   string
	value any
}

// putFormats writes every format that the enabled flags allow, side by side.
func (r *Record) putFormats(enabled features.List, formats ...format) error {
	for _, f := range formats {
		if f.flag != "" && !enabled.Has(f.flag) {
			continue
		}
		if err := r.Put(f.key, f.value); err != nil {
			return err
		}
	}
	return nil
}

// decodeNewest reads the first of the formats, newest first, that the build
// supports and the record has, and returns its key.
func (r Record) decodeNewest(supported features.List, formats ...format) (string, error) {
	for _, f := range formats {
		if f.flag != "" && !supported.Has(f.flag) {
			continue
		}
		if found, err := r.Read(f.key, f.value); found || err != nil {
			return f.key, err
		}
	}
	return "", failure.New(failure.Garbage, "a record of kind "+string(r.Kind)+" without a format that this build reads")
}
