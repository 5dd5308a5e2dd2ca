package configservice_test

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/corianderbay/corianderbay/configservice"
	"github.com/shoenig/test/must"
)

// platformWith returns a client of a platform whose instance list is a text.
func platformWith(t *testing.T, text string) *configservice.Client {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(configservice.IndexHeader, "7")
		_, _ = io.WriteString(w, text)
	}))
	t.Cleanup(s.Close)
	c := configservice.NewClient(configservice.Config{Address: s.URL, Reader: "a"})
	t.Cleanup(c.Close)
	return c
}

// instanceWith returns the JSON text of an instance with another text in one field.
func instanceWith(t *testing.T, field, text string) string {
	t.Helper()
	raw, err := json.Marshal(instance("odd"))
	must.NoError(t, err)
	var fields map[string]json.RawMessage
	must.NoError(t, json.Unmarshal(raw, &fields))
	fields[field] = json.RawMessage(text)
	raw, err = json.Marshal(fields)
	must.NoError(t, err)
	return string(raw)
}

// TestOddInstanceIsLeftOut guards against one odd instance for which a process rejects all
// lists, so that it no longer follows them.
func TestOddInstanceIsLeftOut(t *testing.T) {
	nested := strings.Repeat("[", 5_000) + strings.Repeat("]", 5_000)
	long := `"` + strings.Repeat("x", 300_000) + `"`
	good, err := json.Marshal(instance("s1"))
	must.NoError(t, err)
	for name, odd := range map[string]string{
		"null":              "null",
		"number":            "1e400",
		"text":              long,
		"nested":            nested,
		"empty":             "{}",
		"port out of range": instanceWith(t, "control", `"127.0.0.1:99999"`),
		"no address":        instanceWith(t, "control", `""`),
		"long address":      instanceWith(t, "control", long),
		"forward":           instanceWith(t, "forward", `"127.0.0.1:-1"`),
		"number as name":    instanceWith(t, "name", `9223372036854775808`),
		"role":              instanceWith(t, "role", `"router"`),
		"state":             instanceWith(t, "state", nested),
		"name in capitals":  strings.Replace(instanceWith(t, "x", "1"), `"name"`, `"NAME"`, 1),
		"role in capitals":  strings.Replace(instanceWith(t, "x", "1"), `"role"`, `"ROLE"`, 1),
		"name twice":        strings.Replace(instanceWith(t, "x", "1"), `"name"`, `"name":"s2","name"`, 1),
		"no UTF-8":          instanceWith(t, "x", "1")[:1] + "\"note\":\"\xe9\"," + instanceWith(t, "x", "1")[1:],
		"half a surrogate":  instanceWith(t, "x", `"\ud83d"`),
		"null as operator":  instanceWith(t, "operator", "null"),
	} {
		t.Run(name, func(t *testing.T) {
			c := platformWith(t, `{"index":7,"instances":[`+odd+`,`+string(good)+`]}`)
			l, err := c.Instances(t.Context())
			must.NoError(t, err)
			must.Eq(t, []configservice.Instance{instance("s1")}, l.Instances)
			must.SliceLen(t, 1, l.Rejected)
			must.Less(t, 400, len(l.Rejected[0].Error()))
		})
	}
}

// TestOddListIsRejected guards against lists that end a process, or that are read in part.
func TestOddListIsRejected(t *testing.T) {
	for name, text := range map[string]string{
		"nested":          strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000),
		"nested instance": `{"index":7,"instances":[` + strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000) + `]}`,
		"nested unknown":  `{"index":7,"future":` + strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000) + `}`,
		"index":           `{"index":18446744073709551616,"instances":[]}`,
		"only odd":        `{"index":7,"instances":[null,1]}`,
		"object":          `{"index":7,"instances":{}}`,
		"capitals":        `{"index":7,"INSTANCES":[]}`,
		"no index":        `{"instances":[]}`,
		"null":            `{"index":7,"instances":null}`,
		"index of null":   `{"index":null,"instances":[]}`,
		"twice":           `{"index":7,"instances":[],"instances":[]}`,
		"second value":    `{"index":7,"instances":[]}{}`,
		"cut":             `{"index":7,"instances":[`,
		"bytes":           "\xff\x00",
	} {
		t.Run(name, func(t *testing.T) {
			_, err := platformWith(t, text).Instances(t.Context())
			must.Error(t, err)
			var bad *configservice.DecodeError
			var invalid *configservice.InstanceError
			var syntax *json.SyntaxError
			must.True(t, errors.As(err, &bad) || errors.As(err, &invalid) || errors.As(err, &syntax), must.Sprint(err))
		})
	}
}
