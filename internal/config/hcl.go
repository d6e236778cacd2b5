package config

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/big"
	"slices"
	"strings"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"
	"github.com/hashicorp/hcl/v2/hclwrite"
	"github.com/valyala/fastjson"
	"github.com/zclconf/go-cty/cty"

	"hillknot/internal/jsonfields"
)

// document is a file that a person wrote, as the same tree that JSON gives, with the place of each key.
type document struct {
	root   *fastjson.Value
	places map[string]hcl.Range // by the key's whole path
}

// readHCL reads a document: blocks become objects, attributes values. An error names file, line and column.
func readHCL(text []byte, name string) (*document, error) {
	file, diags := hclsyntax.ParseConfig(text, name, hcl.InitialPos)
	if diags.HasErrors() {
		return nil, diags
	}
	d := &document{places: map[string]hcl.Range{}}
	var a fastjson.Arena
	d.root = a.NewObject()
	return d, d.body(&a, file.Body.(*hclsyntax.Body), d.root, "")
}

func (d *document) body(a *fastjson.Arena, b *hclsyntax.Body, to *fastjson.Value, path string) error {
	for name, attr := range b.Attributes {
		d.places[path+name] = attr.SrcRange
		v, diags := attr.Expr.Value(nil) // there are no variables and no functions
		if diags.HasErrors() {
			return diags
		}
		j, err := value(a, v)
		if err != nil {
			return fmt.Errorf("%s: key %q %w", attr.SrcRange, path+name, err)
		}
		to.Set(name, j)
	}
	for _, block := range b.Blocks {
		key := path + block.Type
		if first, twice := d.places[key]; twice {
			return fmt.Errorf("%s: key %q stands twice, first at %s", block.DefRange(), key, first)
		}
		if len(block.Labels) > 0 {
			return fmt.Errorf("%s: key %q takes no label", block.DefRange(), key)
		}
		d.places[key] = block.DefRange()
		sub := a.NewObject()
		if err := d.body(a, block.Body, sub, key+"."); err != nil {
			return err
		}
		to.Set(block.Type, sub)
	}
	return nil
}

// location is where a key stands, or else the block that it should stand in; empty where the document has neither.
func (d *document) location(key string) string {
	for {
		if r, ok := d.places[key]; ok {
			return r.String()
		}
		i := strings.LastIndexAny(key, ".[")
		if i < 0 {
			return ""
		}
		key = key[:i]
	}
}

// failUnreadKeys reports the keys that nobody reads: an operator's typing error must not pass unnoticed. Those of the settings are
// the platform's, of which some are not used.
func (d *document) failUnreadKeys(o jsonfields.Object) {
	for _, key := range slices.Sorted(maps.Keys(d.places)) {
		parent := ""
		if i := strings.LastIndexByte(key, '.'); i >= 0 {
			parent = key[:i]
		}
		if !o.WasRead(key) && (parent == "" || o.WasRead(parent)) && !strings.HasPrefix(key, "settings.") {
			o.Fail(key, "is no key that is known here")
		}
	}
}

// value turns a value of the document into what JSON has.
func value(a *fastjson.Arena, v cty.Value) (*fastjson.Value, error) {
	t := v.Type()
	switch {
	case !v.IsWhollyKnown():
		return nil, fmt.Errorf("has no value")
	case v.IsNull():
		return a.NewNull(), nil
	case t == cty.String:
		return a.NewString(v.AsString()), nil
	case t == cty.Bool:
		if v.True() {
			return a.NewTrue(), nil
		}
		return a.NewFalse(), nil
	case t == cty.Number:
		return a.NewNumberString(v.AsBigFloat().Text('g', 17)), nil
	case t.IsTupleType() || t.IsListType():
		list, i := a.NewArray(), 0
		for it := v.ElementIterator(); it.Next(); i++ {
			_, e := it.Element()
			j, err := value(a, e)
			if err != nil {
				return nil, err
			}
			list.SetArrayItem(i, j)
		}
		return list, nil
	case t.IsObjectType() || t.IsMapType():
		o := a.NewObject()
		for it := v.ElementIterator(); it.Next(); {
			k, e := it.Element()
			j, err := value(a, e)
			if err != nil {
				return nil, err
			}
			o.Set(k.AsString(), j)
		}
		return o, nil
	}
	return nil, fmt.Errorf("is of a kind that has no place here")
}

// Convert turns an operator's file in JSON into the same in HCL.
func Convert(text []byte) ([]byte, error) {
	var v map[string]any
	if err := json.Unmarshal(text, &v); err != nil {
		return nil, err
	}
	f := hclwrite.NewEmptyFile()
	convert(f.Body(), v)
	return f.Bytes(), nil
}

func convert(b *hclwrite.Body, v map[string]any) {
	for _, n := range slices.Sorted(maps.Keys(v)) {
		if sub, ok := v[n].(map[string]any); ok {
			convert(b.AppendNewBlock(n, nil).Body(), sub)
			continue
		}
		b.SetAttributeValue(n, written(v[n]))
	}
}

// written is a value of JSON as one of HCL.
func written(v any) cty.Value {
	switch v := v.(type) {
	case string:
		return cty.StringVal(v)
	case bool:
		return cty.BoolVal(v)
	case float64:
		return cty.NumberVal(new(big.Float).SetFloat64(v))
	case []any:
		list := make([]cty.Value, len(v))
		for i, e := range v {
			list[i] = written(e)
		}
		return cty.TupleVal(list)
	case map[string]any:
		o := map[string]cty.Value{}
		for k, e := range v {
			o[k] = written(e)
		}
		return cty.ObjectVal(o)
	}
	return cty.NullVal(cty.DynamicPseudoType)
}
