package trlint

import (
	"fmt"
	"maps"
	"reflect"
	"slices"

	"tanagerrock/core/trdirectory"
)

// Difference is a field that differs between two configurations.
type Difference struct {
	Path string `json:"Path"` // entries of lists are named, as in Routes[search].TimeoutMs
	Old  string `json:"Old"`  // empty if absent
	New  string `json:"New"`  // empty if absent
}

// String returns the difference as path: old -> new.
func (d Difference) String() string {
	show := func(value string) string {
		if value == "" {
			return "(none)"
		}
		return value
	}
	return fmt.Sprintf("%s: %s -> %s", d.Path, show(d.Old), show(d.New))
}

// Diff returns the differences in meaning between two configurations, ordered by path. It
// ignores the version and the order of entries, and shows keys as digests.
func Diff(from, to *trdirectory.Config) []Difference {
	before, after := flatten(from), flatten(to)
	paths := maps.Clone(before)
	maps.Copy(paths, after)
	var differences []Difference
	for _, path := range slices.Sorted(maps.Keys(paths)) {
		if before[path] != after[path] {
			differences = append(differences, Difference{path, before[path], after[path]})
		}
	}
	return differences
}

// flatConfig holds the fields of a configuration by path, without those of value 0.
type flatConfig map[string]string

func flatten(cfg *trdirectory.Config) flatConfig {
	f := flatConfig{}
	f.addFields("Limits", reflect.ValueOf(cfg.Limits))
	for i := range cfg.Routes {
		r := &cfg.Routes[i]
		path := f.addEntry("Routes", r.Name, *r)
		for _, p := range r.Split {
			f.add(path+".Split", p.Service, fmt.Sprintf("weight %v", p.Weight))
		}
		for _, shard := range r.Shards {
			f.add(path+".Shards", shard, "present")
		}
	}
	for _, s := range cfg.Services {
		f.addEntry("Services", s.Name, s)
	}
	for _, a := range cfg.Accounts {
		path := f.addEntry("Accounts", a.Name, a)
		for _, key := range a.Keys {
			f.add(path+".Keys", key.String(), "present")
		}
	}
	return f
}

// add adds a value under a name and returns its path. A repeated name gets a number.
func (f flatConfig) add(list, name, value string) string {
	path := fmt.Sprintf("%s[%s]", list, name)
	for n := 2; f[path] != ""; n++ {
		path = fmt.Sprintf("%s[%s#%d]", list, name, n)
	}
	f[path] = value
	return path
}

// addEntry adds an entry with its fields other than lists and returns its path.
func (f flatConfig) addEntry(list, name string, entry any) string {
	path := f.add(list, name, "present")
	f.addFields(path, reflect.ValueOf(entry))
	return path
}

func (f flatConfig) addFields(path string, entry reflect.Value) {
	for i := range entry.NumField() {
		field, name := entry.Field(i), entry.Type().Field(i).Name
		if field.IsZero() || field.Kind() == reflect.Slice || name == "Name" {
			continue
		}
		f[path+"."+name] = fmt.Sprint(reflect.Indirect(field).Interface())
	}
}
