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

// document is a parsed HCL file: the tree that the same content in JSON would give, and the location of each key.
type document struct {
	root      *fastjson.Value
	locations map[string]hcl.Range // by the whole path of the key
}

// readHCL parses HCL text. Blocks become objects, and attributes become values. An error names the file (name), the line
// and the column.
func readHCL(text []byte, name string) (*document, error) {
	file, diags := hclsyntax.ParseConfig(text, name, hcl.InitialPos)
	if diags.HasErrors() {
		return nil, diags
	}
	d := &document{locations: map[string]hcl.Range{}}
	var a fastjson.Arena
	d.root = a.NewObject()
	return d, d.addBody(&a, file.Body.(*hclsyntax.Body), d.root, "")
}

// addBody adds the attributes and blocks of an HCL body to a JSON object. path is the path of the body, with a final dot
// unless it is empty.
func (d *document) addBody(a *fastjson.Arena, b *hclsyntax.Body, to *fastjson.Value, path string) error {
	for name, attr := range b.Attributes {
		d.locations[path+name] = attr.SrcRange
		v, diags := attr.Expr.Value(nil) // there are no variables and no functions
		if diags.HasErrors() {
			return diags
		}
		j, err := jsonValue(a, v)
		if err != nil {
			return fmt.Errorf("%s: key %q %w", attr.SrcRange, path+name, err)
		}
		to.Set(name, j)
	}
	for _, block := range b.Blocks {
		key := path + block.Type
		if first, twice := d.locations[key]; twice {
			return fmt.Errorf("%s: key %q is given twice, first at %s", block.DefRange(), key, first)
		}
		if len(block.Labels) > 0 {
			return fmt.Errorf("%s: key %q takes no label", block.DefRange(), key)
		}
		d.locations[key] = block.DefRange()
		sub := a.NewObject()
		if err := d.addBody(a, block.Body, sub, key+"."); err != nil {
			return err
		}
		to.Set(block.Type, sub)
	}
	return nil
}

// location returns the location of a key, or else of the innermost block that should hold it; empty if the document has
// neither.
func (d *document) location(key string) string {
	for {
		if r, ok := d.locations[key]; ok {
			return r.String()
		}
		i := strings.LastIndexAny(key, ".[")
		if i < 0 {
			return ""
		}
		key = key[:i]
	}
}

// failUnreadKeys reports the keys that nothing has read, so that an operator's typing error does not go unnoticed. Keys
// below settings are the platform's, and some of them are not used.
func (d *document) failUnreadKeys(o jsonfields.Object) {
	for _, key := range slices.Sorted(maps.Keys(d.locations)) {
		parent := ""
		if i := strings.LastIndexByte(key, '.'); i >= 0 {
			parent = key[:i]
		}
		if !o.WasRead(key) && (parent == "" || o.WasRead(parent)) && !strings.HasPrefix(key, "settings.") {
			o.Fail(key, "is not a known key")
		}
	}
}

// jsonValue converts a value of the document to JSON. The error is worded to follow the key's name.
func jsonValue(a *fastjson.Arena, v cty.Value) (*fastjson.Value, error) {
	t := v.Type()
	switch {
	case !v.IsWhollyKnown():
		return nil, fmt.Errorf("has no known value")
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
			j, err := jsonValue(a, e)
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
			j, err := jsonValue(a, e)
			if err != nil {
				return nil, err
			}
			o.Set(k.AsString(), j)
		}
		return o, nil
	}
	return nil, fmt.Errorf("has a value of an unsupported type")
}

// Convert returns an operator's file, given in JSON, as HCL with the same meaning.
func Convert(text []byte) ([]byte, error) {
	var v map[string]any
	if err := json.Unmarshal(text, &v); err != nil {
		return nil, err
	}
	f := hclwrite.NewEmptyFile()
	appendHCL(f.Body(), v)
	return f.Bytes(), nil
}

// appendHCL appends the keys of a JSON object to an HCL body, in alphabetical order. Nested objects become
// blocks, except in lists.
func appendHCL(b *hclwrite.Body, v map[string]any) {
	for _, n := range slices.Sorted(maps.Keys(v)) {
		if sub, ok := v[n].(map[string]any); ok {
			appendHCL(b.AppendNewBlock(n, nil).Body(), sub)
			continue
		}
		b.SetAttributeValue(n, hclValue(v[n]))
	}
}

// hclValue converts a value, as encoding/json decodes it, to an HCL value.
func hclValue(v any) cty.Value {
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
			list[i] = hclValue(e)
		}
		return cty.TupleVal(list)
	case map[string]any:
		o := map[string]cty.Value{}
		for k, e := range v {
			o[k] = hclValue(e)
		}
		return cty.ObjectVal(o)
	}
	return cty.NullVal(cty.DynamicPseudoType)
}
