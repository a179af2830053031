package inifile

import (
	"reflect"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

var durationType = reflect.TypeFor[time.Duration]()

// decode sets the exported fields of target from the keys of the same names. A field
// tagged `ini:"-"` has no key; the key of a field tagged `ini:"required"` must be
// present.
func (f *File) decode(s *ini.Section, target any) {
	v := reflect.ValueOf(target).Elem()
	knownKeys := make([]string, 0, v.NumField())
	for i := range v.NumField() {
		field := v.Type().Field(i)
		tag := field.Tag.Get("ini")
		if tag == "-" {
			continue
		}
		knownKeys = append(knownKeys, field.Name)
		if !s.HasKey(field.Name) {
			if tag == "required" {
				f.addInvalidKey(s.Name(), field.Name, "is missing; expected %s", describeType(field.Type))
			}
			continue
		}
		key := s.Key(field.Name)
		if len(key.ValueWithShadows()) > 1 {
			f.addInvalidKey(s.Name(), field.Name, "key is set more than once")
			continue
		}
		if !setField(v.Field(i), key.Value()) {
			f.addInvalidKey(s.Name(), field.Name, "%q is wrong; expected %s", key.Value(), describeType(field.Type))
		}
	}
	for _, key := range s.Keys() {
		if !contains(knownKeys, key.Name()) {
			f.AddError(s.Name(), key.Name(), "unknown key; expected one of %s", strings.Join(knownKeys, ", "))
		}
	}
}

func setField(v reflect.Value, text string) bool {
	if v.Type() == durationType {
		d, err := time.ParseDuration(text)
		if err != nil || d < 0 {
			return false
		}
		v.SetInt(int64(d))
		return true
	}
	switch v.Kind() {
	case reflect.String:
		v.SetString(text)
	case reflect.Int:
		n, err := strconv.Atoi(text)
		if err != nil {
			return false
		}
		v.SetInt(int64(n))
	case reflect.Float64:
		n, err := strconv.ParseFloat(text, 64)
		if err != nil || n != n {
			return false
		}
		v.SetFloat(n)
	case reflect.Bool:
		b, err := strconv.ParseBool(text)
		if err != nil {
			return false
		}
		v.SetBool(b)
	case reflect.Slice:
		v.Set(reflect.ValueOf(splitList(text)).Convert(v.Type()))
	default:
		return false
	}
	return true
}

func splitList(text string) []string {
	var list []string
	for _, s := range strings.Split(text, ",") {
		if s = strings.TrimSpace(s); s != "" {
			list = append(list, s)
		}
	}
	return list
}

func describeType(t reflect.Type) string {
	if t == durationType {
		return "a duration such as 2s or 500ms"
	}
	switch t.Kind() {
	case reflect.Int:
		return "a whole number"
	case reflect.Float64:
		return "a number"
	case reflect.Bool:
		return "true or false"
	case reflect.Slice:
		return "a list, separated by commas"
	default:
		return "text"
	}
}
