import base from 'gts/.prettierrc.json' with {type: 'json'};

export default base;
